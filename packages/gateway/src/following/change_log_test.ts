import type { StoredObject } from "@rosemarypin/store";
import { describe, expect, it } from "vitest";
import { createChangeLog } from "./change_log.ts";

function setUp() {
  const objects = new Map<string, StoredObject>();
  const log = createChangeLog(objects);
  return {
    log,
    put(key: string, version: number) {
      objects.set(key, { key, version, value: null });
      log.put(key);
    },
    remove(key: string) {
      objects.delete(key);
      log.put(key);
    },
  };
}

function names(changes: { readonly objects: readonly StoredObject[] }) {
  return changes.objects.map(({ key, version }) => `${key}@${version}`);
}

describe("the log of changes", () => {
  it("gives all objects to who knows nothing", () => {
    const { log, put } = setUp();
    put("a", 1);
    put("b", 2);
    const changes = log.after(null);
    expect(changes.isWhole).toBe(true);
    expect(names(changes)).toEqual(["a@1", "b@2"]);
  });

  it("gives each change once, in its last state", () => {
    const { log, put, remove } = setUp();
    put("a", 1);
    const { position } = log.after(null);
    put("b", 2);
    put("b", 3);
    put("c", 4);
    remove("c");
    const changes = log.after(position);
    expect(changes.isWhole).toBe(false);
    expect(names(changes)).toEqual(["b@3"]);
    expect(changes.removed).toEqual(["c"]);
    expect(names(log.after(changes.position))).toEqual([]);
  });

  it("gives all objects to who read the log of another process", () => {
    const { log, put } = setUp();
    put("a", 1);
    const { position } = log.after(null);
    const other = { ...position, epoch: position.epoch + 1 };
    expect(log.after(other).isWhole).toBe(true);
  });

  it("gives all objects to who is too far behind", () => {
    const { log, put } = setUp();
    put("a", 1);
    const { position } = log.after(null);
    for (let version = 2; version < 3_000; version += 1) put("a", version);
    const changes = log.after(position);
    expect(changes.isWhole).toBe(true);
    expect(names(changes)).toEqual(["a@2999"]);
  });

  it("tells of each change until it is told to stop", () => {
    const { log, put } = setUp();
    let told = 0;
    const stop = log.onChange(() => {
      told += 1;
    });
    expect(told).toBe(0);
    put("a", 1);
    put("a", 2);
    expect(told).toBe(2);
    stop();
    put("a", 3);
    expect(told).toBe(2);
  });
});
