/** Problems that the checks between parts of the settings report. */

/** Path of a value in the settings: keys and array indexes. */
export type SettingsPath = readonly (string | number)[];

/** A part of the settings that does not fit another part. */
export interface SettingsProblem {
  readonly path: SettingsPath;
  /** The expected value, for operators. */
  readonly message: string;
}

/** Reports each entry whose value an earlier entry already has. */
export function findDuplicates(
  entries: readonly { readonly path: SettingsPath; readonly value: string }[],
  message: string,
): SettingsProblem[] {
  const seen = new Set<string>();
  return entries.flatMap(({ path, value }) => {
    if (seen.has(value)) return [{ path, message }];
    seen.add(value);
    return [];
  });
}
