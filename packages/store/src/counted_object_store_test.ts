import { createMemoryStore } from "@rosemarypin/fakes";
import { expect, it } from "vitest";
import { countStoreCalls } from "./counted_object_store.ts";

// Guards against store load that operators can't attribute to its cause.
it("counts calls by kind, also those that fail", async () => {
  const client = createMemoryStore({ watchHoldMs: 0 }).client();
  const { store, counts } = countStoreCalls(client.store);
  await store.write("k/a", 1, { expectedVersion: null });
  await store.read("k/a");
  await store.list("k/");
  client.faults.down = true;
  await store.watch("k/", { since: 0 });
  await store.watch("k/", { since: 1 });
  await store.watch("k/", { since: 1 });
  await store.remove("k/a", { expectedVersion: 1 });
  expect(counts()).toEqual({
    read: 1,
    list: 1,
    write: 1,
    remove: 1,
    watch: 2,
    full_read: 1,
  });
});
