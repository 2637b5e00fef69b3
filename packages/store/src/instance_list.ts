/** Client of the platform's instance list, which may be stale. */
import {
  type Address,
  addressSchema,
  type InstanceList,
  instanceListSchema,
} from "@rosemarypin/schemas";
import { request } from "undici";

const TIMEOUT_MS = 2_000;

/** Reads the list once; resolves to `null` if that fails. */
export async function readInstanceList(
  url: string,
): Promise<InstanceList | null> {
  try {
    const response = await request(url, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = instanceListSchema.safeParse(await response.body.json());
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}

/**
 * Returns the peer addresses of live entry instances in the list. As the list
 * may be stale, these are only addresses to contact. They do not show reliably
 * which instances are alive, dead or leaving.
 */
export async function readPeerHints(
  url: string | undefined,
): Promise<readonly Address[]> {
  const list = url ? await readInstanceList(url) : null;
  return (list?.instances ?? [])
    .filter(({ kind, state }) => kind === "entry" && state === "live")
    .flatMap(({ host, port }) => {
      const parsed = addressSchema.safeParse({ host, port });
      return parsed.success ? [parsed.data] : [];
    });
}
