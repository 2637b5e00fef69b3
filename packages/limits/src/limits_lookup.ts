/** Looks up the limits of organisations in the settings. */
import type { Organisation, OrganisationLimits } from "@rosemarypin/schemas";

/** Returns the limits of an organisation, `undefined` if it has none. */
export type LimitsOf = (organisation: string) => OrganisationLimits | undefined;

/** Creates the lookup over all organisations of the settings. */
export function createLimitsOf(
  organisations: readonly Pick<Organisation, "name" | "limits">[],
): LimitsOf {
  const limits = new Map(
    organisations.map((organisation) => [
      organisation.name,
      organisation.limits,
    ]),
  );
  return (organisation) => limits.get(organisation);
}
