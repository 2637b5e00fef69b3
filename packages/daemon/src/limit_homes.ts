/** How instances report the use of limits to the homes of organisations. */
import {
  chooseCoordinator,
  type LimitCoordinator,
  type LimitCoordinators,
  limitReportSchema,
  limitVerdictsSchema,
} from "@rosemarypin/limits";
import type { Membership, PeerCaller } from "@rosemarypin/membership";

const METHOD = "limits.report";
/** The living are listed anew after this; a fleet has hundreds. */
const LIST_MS = 1_000;

export interface LimitHomesOptions {
  readonly id: string;
  readonly membership: Pick<Membership, "peers">;
  readonly peers: PeerCaller;
  /** Judges the organisations whose home this instance is. */
  readonly home: LimitCoordinator;
}

/** Creates the way to the homes of all organisations. */
export function createLimitHomes(
  options: LimitHomesOptions,
): LimitCoordinators {
  const { id, membership, peers } = options;
  let living: readonly string[] = [];
  let listedAt = Number.NEGATIVE_INFINITY;

  function listLiving(): readonly string[] {
    const now = performance.now();
    if (now - listedAt < LIST_MS) return living;
    listedAt = now;
    const others = membership.peers().filter(({ state }) => state === "alive");
    living = [id, ...others.map(({ record }) => record.id)];
    return living;
  }

  return {
    coordinatorOf: (organisation) =>
      chooseCoordinator(organisation, listLiving()),
    isSelf: (home) => home === id,
    async report(home, report) {
      if (home === id) return options.home.report(report);
      const member = membership
        .peers()
        .find(({ record }) => record.id === home);
      if (!member) return null;
      const { peer } = member.record;
      const result = await peers.call(peer, METHOD, { params: report });
      if (result.kind !== "ok") return null;
      return limitVerdictsSchema.safeParse(result.value).data ?? null;
    },
  };
}

/** The peers' method that takes such reports. */
export function limitHomeMethods(home: LimitCoordinator) {
  return {
    [METHOD]: (params: unknown) => home.report(limitReportSchema.parse(params)),
  };
}
