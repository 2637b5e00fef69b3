/** Start-up settings of an instance. */
import type { RetryLimit } from "@rosemarypin/limits";

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

export interface GatewaySettings {
  readonly instance: string;
  readonly failureDomain: string;
  /**
   * Relative processor share, 0 to 1,000, by which relays are chosen; absent if
   * it is unknown.
   */
  readonly ability?: number;
  /** Bytes that the bodies of all requests in progress may take. */
  readonly bodyBudgetBytes?: number;
  /** Bytes that the objects of requests may take, without bodies. */
  readonly requestBudgetBytes?: number;
  /** Bytes that answers may take that are read whole. */
  readonly answerBudgetBytes?: number;
  /** Connections of callers that may be open; beyond them, others are closed. */
  readonly maxConnections?: number;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  /** Address of the operators' server; `null` disables it. */
  readonly metrics: ListenAddress | null;
  /** Address for calls from other instances; `null` if it accepts none. */
  readonly peers: ListenAddress | null;
  /** `host:port` of the object API. */
  readonly storeAddress: string;
  /** Milliseconds from the stop signal until the process is killed. */
  readonly graceMs: number;
  readonly retryBudget: RetryLimit;
}
