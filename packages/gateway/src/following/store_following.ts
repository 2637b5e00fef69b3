/** Keeps mirrors of store prefixes current by watches, relays and peers. */
import {
  createPeerCaller,
  type PeerCaller,
  type PeerMethods,
  type PeerRequests,
  startPeerServer,
} from "@rosemarypin/membership";
import type { ObjectStore } from "@rosemarypin/store";
import type { ListenAddress } from "../settings.ts";
import { createChangeRelay } from "./change_relay.ts";
import {
  type ObjectMirror,
  type ObjectMirrorOptions,
  startObjectMirror,
} from "./object_mirror.ts";
import { createSnapshotMethods, startPeerSnapshots } from "./peer_snapshots.ts";
import { type Presence, startPresence } from "./presence.ts";
import { chooseRelays } from "./relay_choice.ts";
import { startRelayFollower } from "./relay_follower.ts";

/** A prefix of the store with the callbacks for changes of its objects. */
export type FollowedPrefix = Pick<
  ObjectMirrorOptions,
  "prefix" | "onObject" | "onRemoved"
>;

export interface StoreFollowing {
  readonly presence: Presence;
  /** One for each prefix, in the order of `prefixes`. */
  readonly mirrors: readonly ObjectMirror[];
  /** Number of instances that follow the store through this one. */
  countFollowers(): number;
}

/** Calls to other instances, and the server for theirs. */
export interface PeerTransport {
  readonly caller: PeerCaller;
  serve(methods: PeerMethods, requests: PeerRequests): Promise<unknown>;
}

export interface StoreFollowingOptions {
  readonly store: ObjectStore;
  readonly instance: string;
  readonly failureDomain: string;
  /** Relative processor share, 0 to 1,000; absent if it is unknown. */
  readonly ability?: number;
  /**
   * Address for calls from other instances; `null` disables relays and updates
   * from peers.
   */
  readonly peers: ListenAddress | null;
  /** Further methods that other instances may call. */
  readonly peerMethods: PeerMethods;
  /** Requests of other instances that aren't calls of a method. */
  readonly peerRequests: PeerRequests;
  readonly prefixes: readonly FollowedPrefix[];
  /** JSON-RPC over HTTP by default; not used without `peers`. */
  readonly peerTransport?: PeerTransport;
  readonly signal: AbortSignal;
}

/**
 * Starts to mirror the prefixes: through a relay if the failure domain has one,
 * otherwise by watches, and from peers while the store is unreachable. Stops
 * when the signal aborts.
 */
export async function startStoreFollowing({
  store,
  instance,
  failureDomain,
  ability,
  peers,
  peerMethods,
  peerRequests,
  prefixes,
  peerTransport = peers ? createHttpTransport(peers) : undefined,
  signal,
}: StoreFollowingOptions): Promise<StoreFollowing> {
  const knownAbility = ability === undefined ? {} : { ability };
  const presence = startPresence({
    store,
    instance,
    failureDomain,
    peer: peers,
    ...knownAbility,
    signal,
  });
  const mirrors: ObjectMirror[] = [];
  const changeRelay = createChangeRelay({
    mirrors: () => mirrors,
    probeStore: presence.probeStore,
    isFollowing: () => relayFollower?.isFollowing() === true,
    presence,
    signal,
  });
  const caller = peers && peerTransport ? peerTransport.caller : null;
  const relayFollower =
    caller &&
    startRelayFollower({
      mirrors: () => mirrors,
      caller,
      relays(isPassedOver) {
        if (changeRelay.servesOlderVersion()) return [];
        const own = { instance, ...knownAbility };
        const others = presence.liveDomainPeers();
        return chooseRelays({ own, others, isPassedOver }).relays;
      },
      instance,
      presence,
      signal,
    });
  for (const prefix of prefixes) {
    const source = relayFollower ? { ...prefix, relayFollower } : prefix;
    mirrors.push(startObjectMirror({ ...source, store, signal }));
  }
  if (caller && peerTransport) {
    const methods = {
      ...peerMethods,
      ...createSnapshotMethods(mirrors),
      ...changeRelay.methods,
    };
    await peerTransport.serve(methods, peerRequests);
    startPeerSnapshots({ mirrors, caller, peers: presence.peers, signal });
  }
  return { presence, mirrors, countFollowers: changeRelay.countFollowers };
}

function createHttpTransport(address: ListenAddress): PeerTransport {
  return {
    caller: createPeerCaller(address.host),
    serve: (methods, requests) => startPeerServer(address, methods, requests),
  };
}
