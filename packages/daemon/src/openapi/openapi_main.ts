/** Writes docs/openapi; `npm run openapi`. */
import { mkdirSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { adminDocument } from "./admin_document.ts";
import { callersDocument } from "./callers_document.ts";
import { formatDocument } from "./document.ts";

const folder = fileURLToPath(
  new URL("../../../../docs/openapi/", import.meta.url),
);
mkdirSync(folder, { recursive: true });
writeFileSync(`${folder}callers.yaml`, formatDocument(callersDocument()));
writeFileSync(`${folder}admin.yaml`, formatDocument(adminDocument()));
