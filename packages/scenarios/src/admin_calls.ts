/** The administration calls that scenarios make. */

import type { Deployment } from "@rosemarypin/launcher";
import {
  formatAddress,
  type NoteStatus,
  noteStatusSchema,
  publishAnswerSchema,
  type Status,
  statusSchema,
} from "@rosemarypin/schemas";
import { request } from "undici";

const CALL_TIMEOUT_MS = 5_000;

/** Calls to any instance that answers. */
export interface AdminCalls {
  /** Publishes; resolves to the number, or to the refusal's code. */
  publish(
    note: unknown,
  ): Promise<{ readonly number: number } | { readonly code: string }>;
  noteStatus(number: number): Promise<NoteStatus | null>;
  /** Whether a balancer would send callers to the instance. */
  isReady(instance: string): Promise<boolean>;
  /** Status of one instance, or `null` if it does not answer. */
  statusOf(instance: string): Promise<Status | null>;
}

/** Creates calls with the deployment's administrators' key. */
export function createAdminCalls(deployment: Deployment): AdminCalls {
  const { daemons, shape } = deployment.plan;
  const headers = {
    authorization: `Bearer ${shape.adminKey}`,
    "content-type": "application/json",
  };
  const bases = daemons.map(({ instance }) => ({
    id: instance.id,
    url: `http://${formatAddress(instance.addresses.admin)}`,
  }));

  async function call(
    url: string,
    body?: unknown,
  ): Promise<{ readonly status: number; readonly body: unknown } | null> {
    try {
      const response = await request(url, {
        method: body === undefined ? "GET" : "POST",
        headers,
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      return { status: response.statusCode, body: await response.body.json() };
    } catch {
      return null;
    }
  }

  return {
    async publish(note) {
      for (const { url } of bases) {
        const answer = await call(`${url}/v1/notes`, note);
        if (!answer) continue;
        const parsed = publishAnswerSchema.safeParse(answer.body);
        if (parsed.success) return { number: parsed.data.number };
        const { error } = answer.body as { error: { code: string } };
        return { code: error.code };
      }
      return { code: "no_instance" };
    },
    async noteStatus(number) {
      for (const { url } of bases) {
        const answer = await call(`${url}/v1/notes/${number}/status`);
        const parsed = noteStatusSchema.safeParse(answer?.body);
        if (parsed.success) return parsed.data;
      }
      return null;
    },
    async isReady(instance) {
      const base = bases.find(({ id }) => id === instance);
      const answer = base && (await call(`${base.url}/readyz`));
      return answer?.status === 200;
    },
    async statusOf(instance) {
      const base = bases.find(({ id }) => id === instance);
      const answer = base && (await call(`${base.url}/v1/status`));
      const parsed = statusSchema.safeParse(answer?.body);
      return parsed.success ? parsed.data : null;
    },
  };
}
