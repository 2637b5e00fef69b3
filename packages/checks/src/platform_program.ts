/** Where the built program of the users' platform stands. */
import { fileURLToPath } from "node:url";

export const PLATFORM_PROGRAM = fileURLToPath(
  new URL("../../../platform/dist/main.js", import.meta.url),
);
