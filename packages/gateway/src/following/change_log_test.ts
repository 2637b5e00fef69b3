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
      log.recordChange(key);
    },
    remove(key: string) {
      objects.delete(key);
      log.recordChange(key);
    },
  };
}

function describeObjects(changes: {
  readonly objects: readonly StoredObject[];
}) {
  return changes.objects.map(({ key, version }) => `${key}@${version}`);
}

describe("change log", () => {
  it("returns all objects without a position", () => {
    const { log, put } = setUp();
    put("a", 1);
    put("b", 2);
    const changes = log.after(null);
    expect(changes.isWhole).toBe(true);
    expect(describeObjects(changes)).toEqual(["a@1", "b@2"]);
  });

  it("returns each changed object once, in its latest state", () => {
    const { log, put, remove } = setUp();
    put("a", 1);
    const { position } = log.after(null);
    put("b", 2);
    put("b", 3);
    put("c", 4);
    remove("c");
    const changes = log.after(position);
    expect(changes.isWhole).toBe(false);
    expect(describeObjects(changes)).toEqual(["b@3"]);
    expect(changes.removed).toEqual(["c"]);
    expect(describeObjects(log.after(changes.position))).toEqual([]);
  });

  it("returns all objects for a position in another log", () => {
    const { log, put } = setUp();
    put("a", 1);
    const { position } = log.after(null);
    const otherPosition = { ...position, epoch: position.epoch + 1 };
    expect(log.after(otherPosition).isWhole).toBe(true);
  });

  it("returns all objects for a position that is too old", () => {
    const { log, put } = setUp();
    put("a", 1);
    const { position } = log.after(null);
    for (let version = 2; version < 3_000; version += 1) put("a", version);
    const changes = log.after(position);
    expect(changes.isWhole).toBe(true);
    expect(describeObjects(changes)).toEqual(["a@2999"]);
  });

  it("notifies a listener of each change until it unsubscribes", () => {
    const { log, put } = setUp();
    let notifications = 0;
    const unsubscribe = log.onChange(() => {
      notifications += 1;
    });
    expect(notifications).toBe(0);
    put("a", 1);
    put("a", 2);
    expect(notifications).toBe(2);
    unsubscribe();
    put("a", 3);
    expect(notifications).toBe(2);
  });
});
