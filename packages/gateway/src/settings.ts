/** Start-up settings of an instance. */

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits of the retries that all instances together send to one service. */
export interface RetryBudgetSettings {
  /** Retries per request in the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries that are allowed in addition to the ratio. */
  readonly slack: number;
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
  readonly retryBudget: RetryBudgetSettings;
}
