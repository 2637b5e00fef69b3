/** The platform's list of live and leaving instances: a hint that lags. */
import { type InstanceList, instanceListSchema } from "@rosemarypin/schemas";
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
