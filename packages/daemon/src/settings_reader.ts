/** Checks a settings file without keeping what that takes in memory. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import {
  type FileResult,
  parseYamlFile,
  type Settings,
  settingsSchema,
} from "@rosemarypin/schemas";

/** Smaller files are not worth the start of a thread. */
const LARGE_FILE_CHARACTERS = 262_144;

/**
 * Parses settings; `file` is only for the errors.
 *
 * The positions of every line of a file with 6,400 organisations take tens of
 * megabytes, which the runtime's heap never gave back. A thread has a heap of
 * its own, and that ends with it; only the settings themselves come over.
 */
export async function parseSettings(options: {
  readonly text: string;
  readonly file: string;
}): Promise<FileResult<Settings>> {
  if (options.text.length < LARGE_FILE_CHARACTERS) {
    return parseYamlFile(settingsSchema, options);
  }
  const thread = new Worker(new URL("./settings_thread.js", import.meta.url), {
    workerData: options,
  });
  const [result] = await once(thread, "message");
  await thread.terminate();
  return result as FileResult<Settings>;
}
