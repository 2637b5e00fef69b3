/** Handles received datagrams by method. */
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

const SYNC_INTERVAL_MS = 5_000;
/** A new instance syncs more often until its table has had time to fill. */
const NEW_INSTANCE_SYNC_INTERVAL_MS = 500;

export interface DatagramHandlerOptions {
  readonly table: MemberTable;
  readonly sync: TableSync;
  readonly acknowledgements: Acknowledgements;
  readonly isNew: () => boolean;
  readonly send: (
    body: DatagramBody,
    target: Address,
    news?: readonly MemberNews[],
  ) => void;
  /** Sends a datagram with these records only, as they fill it. */
  readonly sendBatch: (news: readonly MemberNews[], target: Address) => void;
  readonly drop: (reason: string) => void;
}

/** Creates the datagram handler of an instance. */
export function createDatagramHandler(options: DatagramHandlerOptions) {
  const { table, sync, acknowledgements, send } = options;
  const relays = createRelays();
  let syncedAt = -Infinity;

  /** News that makes a suspected peer refute the suspicion. */
  function suspicionsOf(peerId: string): MemberNews[] {
    const news = table.news(peerId);
    return news && news.status !== "alive" ? [news] : [];
  }

  function relay(request: {
    readonly requester: Address;
    readonly sequence: number;
    readonly target: Address;
  }): void {
    const sequence = acknowledgements.nextSequence();
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
    const relay = relays.take(sequence);
    if (relay) return forwardAnswer(record, relay);
    const answer = about === undefined ? "direct" : "through_others";
    acknowledgements.settle(sequence, { id: about ?? record.id, answer });
  }

  function forwardAnswer(
    { id }: MemberRecord,
    relayed: { readonly requester: Address; readonly sequence: number },
  ): void {
    const { requester, sequence } = relayed;
    const news = table.news(id);
    send({ method: "ack", sequence, about: id }, requester, news ? [news] : []);
  }

  function syncWith(peer: Address): void {
    const now = performance.now();
    const intervalMs = options.isNew()
      ? NEW_INSTANCE_SYNC_INTERVAL_MS
      : SYNC_INTERVAL_MS;
    if (now - syncedAt < intervalMs) return;
    syncedAt = now;
    send({ method: "sync", digests: sync.digests() }, peer);
  }

  function handleByMethod({ method, params }: PeerDatagram): void {
    const { record } = params.from;
    const { id, peer } = record;
    switch (method) {
      case "ping": {
        const { sequence } = params;
        return send({ method: "ack", sequence }, peer, suspicionsOf(id));
      }
      case "ping_request": {
        const { sequence, target } = params;
        return relay({ requester: peer, sequence, target });
      }
      case "ack":
        return acknowledge(params.sequence, { record, about: params.about });
      case "sync":
        for (const batch of sync.answers(params.digests)) {
          options.sendBatch(batch, peer);
        }
        return;
      case "news":
        return;
    }
  }

  return {
    /** Answers a datagram whose records have been merged into the table. */
    answer(datagram: PeerDatagram): void {
      handleByMethod(datagram);
      if (datagram.method === "sync") return;
      const { hash, from } = datagram.params;
      if (hash !== sync.hash()) syncWith(from.record.peer);
    },
  };
}
