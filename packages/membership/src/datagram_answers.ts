/** What an instance does with each kind of datagram. */
import type {
  Address,
  MemberNews,
  MemberRecord,
  PeerDatagram,
} from "@rosemarypin/schemas";
import type { Acknowledgements } from "./acknowledgements.ts";
import type { MemberTable } from "./member_table.ts";
import { createRelays } from "./relays.ts";
import type { TableSync } from "./table_sync.ts";
import type { DatagramBody } from "./wire.ts";

const SYNC_EVERY_MS = 5_000;
/** A new instance syncs faster until its table had time to fill. */
const NEW_SYNC_EVERY_MS = 500;

export interface DatagramAnswersOptions {
  readonly table: MemberTable;
  readonly sync: TableSync;
  readonly acknowledgements: Acknowledgements;
  readonly isNew: () => boolean;
  readonly send: (
    body: DatagramBody,
    target: Address,
    news?: readonly MemberNews[],
  ) => void;
  /** Sends just these records; they fill the datagram. */
  readonly sendPortion: (news: readonly MemberNews[], target: Address) => void;
  readonly drop: (reason: string) => void;
}

/** Creates the answers of one instance. */
export function createDatagramAnswers(options: DatagramAnswersOptions) {
  const { table, sync, acknowledgements, send } = options;
  const relays = createRelays();
  let syncedAt = -Infinity;

  /** Who is suspected is told so with the answer, and can refute it. */
  function suspicionsOf(peerId: string): MemberNews[] {
    const news = table.news(peerId);
    return news && news.status !== "alive" ? [news] : [];
  }

  function relay(request: {
    readonly asker: Address;
    readonly sequence: number;
    readonly target: Address;
  }): void {
    const sequence = acknowledgements.next();
    if (!relays.add(sequence, request)) return options.drop("too_many_relays");
    send({ method: "ping", sequence }, request.target);
  }

  function acknowledge(
    sequence: number,
    from: {
      readonly record: MemberRecord;
      readonly about?: string | undefined;
    },
  ): void {
    const { record, about } = from;
    const relayed = relays.take(sequence);
    if (relayed) return passAnswerOn(record, relayed);
    const answer = about === undefined ? "direct" : "through_others";
    acknowledgements.settle(sequence, { id: about ?? record.id, answer });
  }

  function passAnswerOn(
    { id }: MemberRecord,
    relayed: { readonly asker: Address; readonly sequence: number },
  ): void {
    const { asker, sequence } = relayed;
    const news = table.news(id);
    send({ method: "ack", sequence, about: id }, asker, news ? [news] : []);
  }

  function syncWith(peer: Address): void {
    const now = performance.now();
    const everyMs = options.isNew() ? NEW_SYNC_EVERY_MS : SYNC_EVERY_MS;
    if (now - syncedAt < everyMs) return;
    syncedAt = now;
    send({ method: "sync", digests: sync.digests() }, peer);
  }

  function answerKind({ method, params }: PeerDatagram): void {
    const { record } = params.from;
    const { id, peer } = record;
    switch (method) {
      case "ping": {
        const { sequence } = params;
        return send({ method: "ack", sequence }, peer, suspicionsOf(id));
      }
      case "ping_request": {
        const { sequence, target } = params;
        return relay({ asker: peer, sequence, target });
      }
      case "ack":
        return acknowledge(params.sequence, { record, about: params.about });
      case "sync":
        for (const portion of sync.answers(params.digests)) {
          options.sendPortion(portion, peer);
        }
        return;
      case "news":
        return;
    }
  }

  return {
    /** Answers a datagram whose records have been taken in. */
    answer(datagram: PeerDatagram): void {
      answerKind(datagram);
      if (datagram.method === "sync") return;
      const { hash, from } = datagram.params;
      if (hash !== sync.hash()) syncWith(from.record.peer);
    },
  };
}
