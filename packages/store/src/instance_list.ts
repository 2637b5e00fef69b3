/** The platform's list of live and leaving instances: a hint that lags. */
import {
  type Address,
  addressSchema,
  type InstanceList,
  instanceListSchema,
} from "@rosemarypin/schemas";
import { request } from "undici";

const TIMEOUT_MS = 2_000;

/** Reads the list once; `null` when it cannot be had. */
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
 * Peers' addresses of live entry instances in the list. The list lags, so an
 * entry is an address to try and never a reason to hold anyone for alive,
 * dead or leaving.
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
