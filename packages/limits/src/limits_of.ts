/** Looks up the limits that the settings give. */
import type { Organisation, OrganisationLimits } from "@rosemarypin/schemas";

/** What an organisation may use; absent for one without limits. */
export type LimitsOf = (organisation: string) => OrganisationLimits | undefined;

/** Creates the look-up over all organisations of the settings. */
export function createLimitsOf(
  organisations: readonly Pick<Organisation, "name" | "limits">[],
): LimitsOf {
  const limits = new Map(organisations.map((each) => [each.name, each.limits]));
  return (organisation) => limits.get(organisation);
}
