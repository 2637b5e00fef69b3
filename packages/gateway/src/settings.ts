/** What an instance is told when it starts. */

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Repeats that all instances together may send to one service. */
export interface RetryBudgetSettings {
  /** Repeats for each request in the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats that are allowed besides. */
  readonly slack: number;
}

export interface GatewaySettings {
  readonly instance: string;
  readonly failureDomain: string;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly metrics: ListenAddress | null;
  /** Where other instances reach this one. */
  readonly peers: ListenAddress | null;
  /** HOST:PORT of the object API. */
  readonly storeAddress: string;
  /** From the signal to stop until the process is killed. */
  readonly graceMs: number;
  readonly retryBudget: RetryBudgetSettings;
}
