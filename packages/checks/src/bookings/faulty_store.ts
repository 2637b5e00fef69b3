/** The platform's store as an instance sees it over a bad network. */
import type { MemoryStore } from "@rosemarypin/fakes";
import type { ObjectStore, StoreFailure } from "@rosemarypin/store";
import type { Faults } from "./faults.ts";
import type { Interleaving } from "./interleaving.ts";

const FAULT_CHANCE = 0.12;
const LATEST_WRITE_MS = 15_000;
const REPLY_LOST: StoreFailure = { kind: "reply_lost", detail: "no reply" };
const UNAVAILABLE: StoreFailure = { kind: "unavailable", detail: "away" };

/** Switched by the history: calls fail while the store is away. */
export interface StoreOutage {
  away: boolean;
}

/** Creates one instance's client. */
export function createFaultyStore(options: {
  readonly memory: MemoryStore;
  readonly interleaving: Interleaving;
  readonly faults: Faults;
  readonly outage: StoreOutage;
}): ObjectStore {
  const { interleaving, faults, outage } = options;
  const { store } = options.memory.client();
  const { pause, deliver } = interleaving;

  /** The call travels, takes effect, and its reply travels back. */
  async function travel<T>(label: string, call: () => Promise<T>): Promise<T> {
    const result = await deliver(async () => {
      await pause(`${label} arrives at the store`);
      return call();
    });
    await pause(`${label} is replied to`);
    return result;
  }

  return {
    async read(key) {
      await pause("reads the store");
      if (outage.away || faults.strikes(FAULT_CHANCE)) return UNAVAILABLE;
      return travel("read", () => store.read(key));
    },
    async list(prefix) {
      await pause("lists the store");
      return outage.away ? UNAVAILABLE : store.list(prefix);
    },
    async write(key, value, writeOptions) {
      const state = (value as { state: { kind: string } }).state.kind;
      const label = `write of '${state}'`;
      await pause(`sends ${label}`);
      if (outage.away) return UNAVAILABLE;
      const write = () => store.write(key, value, writeOptions);
      if (!faults.strikes(FAULT_CHANCE)) return travel(label, write);
      switch (faults.pick(["lost request", "lost reply", "late"])) {
        case "lost request":
          interleaving.note(`${label} is lost on its way`);
          break;
        case "lost reply":
          interleaving.note(`the reply to ${label} is lost`);
          await travel(label, write);
          break;
        case "late":
          interleaving.note(`${label} is late`);
          void deliver(async () => {
            await interleaving.sleep(faults.between(0, LATEST_WRITE_MS));
            await pause(`late ${label} arrives`);
            await write();
          });
      }
      await pause(`gives up on ${label}`);
      return REPLY_LOST;
    },
    remove: () => Promise.resolve(UNAVAILABLE),
    watch: () => Promise.resolve(UNAVAILABLE),
  };
}
