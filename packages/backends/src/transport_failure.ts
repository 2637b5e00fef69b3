/** Tells apart calls that never left from calls that may have run. */
import { errors } from "undici";

/** How a call to a backend server broke. */
export type TransportFailure =
  /** No connection was made: no byte of the request was handed over. */
  | {
      readonly kind: "not_sent";
      readonly detail: string;
      /** The host answered that nothing listens: the process has ended. */
      readonly refused: boolean;
    }
  /** Bytes were handed over: the server may have run the call. */
  | { readonly kind: "broken"; readonly detail: string };

const NEVER_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/** Classifies an error of `undici`; in doubt the call may have run. */
export function classifyTransportError(error: unknown): TransportFailure {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as { code?: string }).code ?? "";
  const neverConnected =
    NEVER_CONNECTED.has(code) || error instanceof errors.ConnectTimeoutError;
  if (!neverConnected) return { kind: "broken", detail };
  return { kind: "not_sent", detail, refused: code === "ECONNREFUSED" };
}
