/** Exit codes of `rosemarypin`; scripts may rely on them. */
export const exitCodes = {
  ok: 0,
  /** The call was answered with a failure. */
  failed: 1,
  /** Wrong usage, or a file that is not valid. */
  usage: 2,
  /** Another note came first. */
  conflict: 3,
  /** Nothing was done; try again later. */
  unavailable: 4,
  /** It may have been done; the message says how to find out. */
  unknown: 5,
  /** The time given to `note wait` ran out. */
  notInTime: 6,
} as const;
