/** Memory of this process after a collection. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Heap and buffers in use, in megabytes. */
export function heapMegabytes(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / 1_048_576;
}
