/** Distinguishes calls that were never sent from calls that may have run. */
import { errors } from "undici";

/** Transport-level failure of a call to a backend server. */
export type TransportFailure =
  /** No connection was established, so no byte of the request was sent. */
  | {
      readonly kind: "not_sent";
      readonly detail: string;
      /** The host refused the connection: no process listens on the port. */
      readonly refused: boolean;
    }
  /** The request may have been sent, so the server may have run the call. */
  | { readonly kind: "broken"; readonly detail: string };

const NEVER_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/** Classifies an `undici` error; an unknown one is `broken`. */
export function classifyTransportError(error: unknown): TransportFailure {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as { code?: string }).code ?? "";
  const neverConnected =
    NEVER_CONNECTED.has(code) || error instanceof errors.ConnectTimeoutError;
  if (!neverConnected) return { kind: "broken", detail };
  return { kind: "not_sent", detail, refused: code === "ECONNREFUSED" };
}
