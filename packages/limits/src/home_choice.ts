/** Which instance judges an organisation's use of its limits. */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/**
 * Chooses by rendezvous hashing, so that all instances with one view of who
 * lives agree without a word, and one that comes or goes moves only its own
 * organisations.
 */
export function chooseHome(
  organisation: string,
  instances: readonly string[],
): string {
  let best = "";
  let highest = -1;
  for (const id of instances) {
    const rank = h32(`${id}\n${organisation}`);
    if (rank <= highest) continue;
    highest = rank;
    best = id;
  }
  return best;
}
