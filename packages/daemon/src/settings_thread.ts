/** Thread that checks a settings file, and ends with all it took to do so. */
import { parentPort, workerData } from "node:worker_threads";
import { parseYamlFile, settingsSchema } from "@rosemarypin/schemas";

const { text, file } = workerData as { text: string; file: string };
parentPort?.postMessage(parseYamlFile(settingsSchema, { text, file }));
