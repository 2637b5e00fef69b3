/** The relays of one deployment, in the process of the launcher. */
import { startDatagramRelay } from "./datagram_relay.ts";
import type { Links } from "./links.ts";
import { PLATFORM, type RelayedPlan, type RelayPlan } from "./relayed_plan.ts";
import { createStreamRelay, type StreamRelay } from "./stream_relay.ts";

/** Relays that follow which processes run. */
export interface Relays {
  /** Says whether the process of that name runs now. */
  setRunning(name: string, isRunning: boolean): void;
  close(): void;
}

/** Starts all relays of a plan. */
export async function startRelays(
  { relays, hosts }: RelayedPlan,
  links: Links,
): Promise<Relays> {
  const running = new Set([PLATFORM]);
  const streams: StreamRelay[] = [];
  const closers: (() => void)[] = [];
  const nameOf = (host: string) => hosts.get(host) ?? host;

  /**
   * A refused connection shows peers that a process has ended. So the relay of
   * one that has ended refuses too, but not across a cut: there, nobody could
   * tell an ended process from a silent one.
   */
  function isWanted({ to, only }: RelayPlan): boolean {
    if (running.has(to)) return true;
    const senders = only === undefined ? [...hosts.values()] : [only];
    return senders.some(
      (from) =>
        !links.passes({ from, to }) || !links.passes({ from: to, to: from }),
    );
  }

  function updateAll(): void {
    for (const stream of streams) void stream.update();
  }

  for (const relay of relays) {
    const { only } = relay;
    const common = {
      ...relay,
      links,
      nameOf: only === undefined ? nameOf : () => only,
    };
    if (relay.datagrams) closers.push(await startDatagramRelay(common));
    else {
      streams.push(
        createStreamRelay({ ...common, isWanted: () => isWanted(relay) }),
      );
    }
  }
  await Promise.all(streams.map((stream) => stream.update()));
  links.onChange(updateAll);

  return {
    setRunning(name, isRunning) {
      if (isRunning) running.add(name);
      else running.delete(name);
      updateAll();
    },
    close() {
      for (const close of closers) close();
      for (const stream of streams) stream.close();
    },
  };
}
