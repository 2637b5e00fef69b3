/** Chooses the coordinator of an organisation's limits. */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/**
 * Returns the id of the instance that coordinates an organisation's limits.
 * With rendezvous hashing, all instances with the same list of live instances
 * agree without messages, and an instance that joins or leaves moves only its
 * own organisations. Returns an empty string if there are no instances.
 */
export function chooseCoordinator(
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
