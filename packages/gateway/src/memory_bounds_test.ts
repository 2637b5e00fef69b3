import { createCallerMemories } from "@rosemarypin/connections";
import { expect, it } from "vitest";
import { memoryBoundsOf } from "./memory_bounds.ts";

const MEBIBYTE = 1_048_576;
const PROCESS_MB = 80;
/** A small body and a small answer, which no budget holds up. */
const SMALL_BYTES = 2 * 16_384;
const UNREAD_BYTES = 65_536;

// Guards against bounds that each hold and together end the process.
it.each([202, 256, 373, 512, 610, 870])(
  "all at their worst fit in a machine of %i MB",
  (memoryMb) => {
    const descriptors = 8_200;
    const memoryBytes = memoryMb * MEBIBYTE;
    const bounds = memoryBoundsOf({ memoryBytes, descriptors });
    const memories = createCallerMemories(bounds);
    const sum =
      PROCESS_MB * MEBIBYTE +
      memories.bodies.limitBytes +
      memories.unparsed.limitBytes +
      memories.requests.limitBytes +
      bounds.answerBudgetBytes +
      bounds.maxConnections * (UNREAD_BYTES + SMALL_BYTES);
    expect(sum).toBeLessThanOrEqual(memoryBytes);
  },
);

// Guards against callers that leave no descriptors for servers and the store.
it("leaves descriptors for others", () => {
  const bounds = memoryBoundsOf({ memoryBytes: 2 ** 30, descriptors: 600 });
  expect(bounds.maxConnections).toBe(280);
});
