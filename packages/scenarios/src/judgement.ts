/** How one promise is judged over many things. */

/** What came of it; `broken` says what broke it first. */
export interface Judgement {
  readonly broken: string | null;
  /** How many things were judged; none means that nothing was shown. */
  readonly judged: number;
}

/** Judges items in order, until one has a problem. */
export function judgeEach<T>(
  items: readonly T[],
  problemOf: (item: T) => string | null,
): Judgement {
  for (const item of items) {
    const broken = problemOf(item);
    if (broken !== null) return { broken, judged: items.length };
  }
  return { broken: null, judged: items.length };
}
