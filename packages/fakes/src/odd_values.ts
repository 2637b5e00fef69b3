/** Odd parts of content, for tests of what decodes content of others. */

/** Levels at which encoding overflows the stack. */
const DEEP_LEVELS = 20_000;
const LONG_LENGTH = 50_000;

/** Values of every type that a decoder must not rely on. */
export const ODD_VALUES: readonly unknown[] = [
  ...[null, undefined, true, "", [], {}, [[]], { a: { b: 1 } }],
  ...[-1, -0, 0.5, 1e9, 2 ** 31, 2 ** 32, 2 ** 53, 1e15, 1e308, -1e308],
  ...[Number.NaN, Number.POSITIVE_INFINITY],
  ...["\ud800", "\0", "a\r\nb: c", "caf\u00e9 \u20ac", "a/b", "../..", " "],
  ...["__proto__", "constructor", "toString"],
  ...["127.0.0.1:80800", "256.0.0.1:80", "127.0.0.1:0", "127.1:80", "[::1]:80"],
  ...["127.0.0.1:80 ", "127.0.0.1:1e3", "user@127.0.0.1:80", "host:80"],
  ...["1e308", "-1", "0x10", "Infinity", "NaN", "1,2,3", "a:b,c:d"],
  "x".repeat(LONG_LENGTH),
  Array.from({ length: LONG_LENGTH }, () => 0),
  JSON.parse(`${"[".repeat(DEEP_LEVELS)}${"]".repeat(DEEP_LEVELS)}`),
];

/** Another value for a part, by its place among all parts of the content. */
export interface PartChange {
  readonly place: number;
  readonly value: unknown;
}

/** Returns a copy with the parts changed; places are counted modulo. */
export function withChangedParts(
  content: unknown,
  changes: readonly PartChange[],
): unknown {
  let changed = structuredClone(content);
  for (const { place, value } of changes) {
    const parts = partsOf(changed);
    const part = parts[place % Math.max(1, parts.length)];
    if (part) part.holder[part.key] = value;
    else changed = value;
  }
  return changed;
}

interface Part {
  readonly holder: Record<string, unknown>;
  readonly key: string;
}

/** Parts at all levels, but not those of odd values. */
function partsOf(content: unknown, levels = 6): Part[] {
  if (typeof content !== "object" || content === null || levels === 0)
    return [];
  const holder = content as Record<string, unknown>;
  return Object.keys(holder)
    .slice(0, 50)
    .flatMap((key) => [{ holder, key }, ...partsOf(holder[key], levels - 1)]);
}
