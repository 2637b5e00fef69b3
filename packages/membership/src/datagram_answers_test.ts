import { createSeededRandom } from "@rosemarypin/checks";
import type { MemberNews, PeerDatagram } from "@rosemarypin/schemas";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createAcknowledgements } from "./acknowledgements.ts";
import { createDatagramAnswers } from "./datagram_answers.ts";
import { createMemberTable } from "./member_table.ts";

const SEED = 11;
const OWN_HASH = 1;
const OTHER_HASH = 2;
const SYNC_EVERY_MS = 5_000;
const ROUNDS = 200;

const from: MemberNews = {
  status: "alive",
  record: {
    id: "entry-2",
    failureDomain: "a",
    peer: { host: "127.0.0.1", port: 2 },
    incarnation: 1,
    revision: 1,
    left: false,
    shared: { note: 0, draining: false, load: 0 },
  },
};

function createRack() {
  const seeded = createSeededRandom(SEED);
  const asked = vi.fn();
  const answers = createDatagramAnswers({
    table: createMemberTable({ forgetSilentAfterMs: 1_000 }),
    sync: {
      hash: () => OWN_HASH,
      digests: () => "",
      room: () => 4_800,
      answers: () => [],
    },
    acknowledgements: createAcknowledgements(),
    isNew: () => false,
    random: () => seeded.between(0, 999) / 1_000,
    send: asked,
    sendPortion() {},
    drop() {},
  });
  /** Hears `hash` from another, long after the last time. */
  async function hear(hash: number): Promise<void> {
    const params = { from, hash, news: [] };
    const datagram: PeerDatagram = { jsonrpc: "2.0", method: "news", params };
    await vi.advanceTimersByTimeAsync(SYNC_EVERY_MS);
    answers.answer(datagram);
  }
  return { hear, asked };
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

it("asks one that differs alone now and then, not each time", async () => {
  // An instance misses one record, and differs from all that it talks to. If
  // each of them asked it for its table, their requests would use up its
  // traffic, and it could not ask for the record itself. It may as well be
  // the only one that knows a record, so it has to be asked at some time.
  const { hear, asked } = createRack();
  for (let round = 0; round < ROUNDS; round += 1) {
    await hear(OWN_HASH);
    await hear(OTHER_HASH);
  }
  expect(asked.mock.calls.length).toBeGreaterThan(0);
  expect(asked.mock.calls.length).toBeLessThan(ROUNDS / 2);
});

it("asks each time when it is this instance that differs", async () => {
  const { hear, asked } = createRack();
  for (let round = 0; round < ROUNDS; round += 1) await hear(OTHER_HASH);
  expect(asked).toHaveBeenCalledTimes(ROUNDS);
});
