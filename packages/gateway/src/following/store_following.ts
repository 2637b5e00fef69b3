/** Keeps copies of parts of the store current, in all ways that there are. */
import { createPeerCaller, startPeerServer } from "@rosemarypin/membership";
import type { ObjectStore } from "@rosemarypin/store";
import type { ListenAddress } from "../settings.ts";
import { createChangeRelay } from "./change_relay.ts";
import {
  type ObjectMirror,
  type ObjectMirrorOptions,
  startObjectMirror,
} from "./object_mirror.ts";
import { peerNewsMethods, startPeerNews } from "./peer_news.ts";
import { type Presence, startPresence } from "./presence.ts";
import { chooseRelays } from "./relay_choice.ts";
import { startRelayFollower } from "./relay_follower.ts";

/** A prefix of the store, and who is told of its objects. */
export type FollowedPrefix = Pick<
  ObjectMirrorOptions,
  "prefix" | "onObject" | "onRemoved"
>;

export interface StoreFollowing {
  readonly presence: Presence;
  /** One for each prefix, in their order. */
  readonly mirrors: readonly ObjectMirror[];
}

export interface StoreFollowingOptions {
  readonly store: ObjectStore;
  readonly instance: string;
  readonly failureDomain: string;
  /** Where other instances reach this one; without it each is on its own. */
  readonly peers: ListenAddress | null;
  readonly prefixes: readonly FollowedPrefix[];
  readonly signal: AbortSignal;
}

/**
 * Starts to follow the store: through a relay where the failure domain has
 * some, by watches of its own else, and from peers while the store turns this
 * instance away. Ends with the signal.
 */
export async function startStoreFollowing({
  store,
  instance,
  failureDomain,
  peers,
  prefixes,
  signal,
}: StoreFollowingOptions): Promise<StoreFollowing> {
  const presence = startPresence({
    store,
    instance,
    failureDomain,
    peer: peers,
    signal,
  });
  const mirrors: ObjectMirror[] = [];
  const caller = peers ? createPeerCaller(peers.host) : null;
  const relay =
    caller &&
    startRelayFollower({
      mirrors: () => mirrors,
      caller,
      relays: () => chooseRelays(instance, presence.neighbours()),
      signal,
    });
  for (const prefix of prefixes) {
    const followed = relay ? { ...prefix, relay } : prefix;
    mirrors.push(startObjectMirror({ ...followed, store, signal }));
  }
  if (peers && caller) {
    const followers = createChangeRelay({
      mirrors: () => mirrors,
      probeStore: presence.probeStore,
      signal,
    });
    const methods = { ...peerNewsMethods(mirrors), ...followers.methods };
    await startPeerServer(peers, methods);
    startPeerNews({ mirrors, caller, peers: presence.peers, signal });
  }
  return { presence, mirrors };
}
