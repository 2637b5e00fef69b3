/** Who a caller is, by the hash of the key it sends. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Organisation } from "@rosemarypin/schemas";

const BEARER = /^Bearer\s+(\S{8,256})$/i;

/** SHA-256 of a key, as settings hold it. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Hash of the key in the `authorization` header, if there is one. */
export function keyHashOf(request: IncomingMessage): string | null {
  const match = BEARER.exec(request.headers.authorization ?? "");
  return match?.[1] === undefined ? null : hashKey(match[1]);
}

/** Creates a lookup of organisations by their key. */
export function createAuthenticator(organisations: readonly Organisation[]) {
  const byHash = new Map(
    organisations.map((organisation) => [organisation.keySha256, organisation]),
  );
  return (request: IncomingMessage): Organisation | null => {
    const hash = keyHashOf(request);
    return hash === null ? null : (byHash.get(hash) ?? null);
  };
}
