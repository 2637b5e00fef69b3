/** Sends reports of usage to the coordinators of organisations' limits. */
import {
  chooseCoordinator,
  type LimitCoordinator,
  type LimitCoordinators,
  limitReportSchema,
  limitVerdictsSchema,
} from "@rosemarypin/limits";
import type { Membership, PeerCaller } from "@rosemarypin/membership";

const METHOD = "limits.report";
/** Time until the list of live instances, often hundreds, is rebuilt. */
const LIVE_IDS_TTL_MS = 1_000;

export interface LimitCoordinatorsOptions {
  readonly id: string;
  readonly membership: Pick<Membership, "peers">;
  readonly peers: PeerCaller;
  /** Coordinator of the organisations that are assigned to this instance. */
  readonly coordinator: LimitCoordinator;
}

/** Creates the client that locates coordinators and reports to them. */
export function createLimitCoordinators(
  options: LimitCoordinatorsOptions,
): LimitCoordinators {
  const { id, membership, peers } = options;
  let liveIds: readonly string[] = [];
  let listedAt = Number.NEGATIVE_INFINITY;

  function listLiveIds(): readonly string[] {
    const now = performance.now();
    if (now - listedAt < LIVE_IDS_TTL_MS) return liveIds;
    listedAt = now;
    const others = membership.peers().filter(({ state }) => state === "alive");
    liveIds = [id, ...others.map(({ record }) => record.id)];
    return liveIds;
  }

  return {
    coordinatorOf: (organisation) =>
      chooseCoordinator(organisation, listLiveIds()),
    isSelf: (coordinator) => coordinator === id,
    async report(coordinator, report) {
      if (coordinator === id) return options.coordinator.report(report);
      const member = membership
        .peers()
        .find(({ record }) => record.id === coordinator);
      if (!member) return null;
      const { peer } = member.record;
      const result = await peers.call(peer, METHOD, { params: report });
      if (result.kind !== "ok") return null;
      return limitVerdictsSchema.safeParse(result.value).data ?? null;
    },
  };
}

/** Returns the RPC method by which peers send reports to this instance. */
export function limitCoordinatorMethods(coordinator: LimitCoordinator) {
  return {
    [METHOD]: (params: unknown) =>
      coordinator.report(limitReportSchema.parse(params)),
  };
}
