/** What a check between parts of the settings finds. */

/** Keys and indexes that lead to a value of the settings. */
export type SettingsPath = readonly (string | number)[];

/** A part of the settings that does not fit another part. */
export interface SettingsProblem {
  readonly path: SettingsPath;
  /** What was expected. */
  readonly message: string;
}

/** Each value that an earlier entry has already. */
export function findRepeated(
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
