/** Bounds the memory that the bodies of all requests in progress take. */

/** Bodies up to this size never wait: a socket buffers as much anyway. */
const SMALL_BODY_BYTES = 16_384;
/** Time for which a body waits for room before its request is refused. */
const WAIT_MS = 500;

/** What one request takes of the budget. */
export interface BodyRoom {
  /** Takes room for further bytes; `false` if there is none at present. */
  tryTake(bytes: number): boolean;
  /** Resolves to whether room for further bytes came in time. */
  waitFor(bytes: number): Promise<boolean>;
  /** Gives everything back, and ends a wait. */
  release(): void;
}

export interface BodyBudget {
  readonly limitBytes: number;
  heldBytes(): number;
  open(): BodyRoom;
}

interface Waiter {
  readonly bytes: number;
  readonly settle: (hasRoom: boolean) => void;
}

/** Creates the budget of one instance; those who wait get room in turn. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  const waiters = new Set<Waiter>();
  let heldBytes = 0;

  /** A body of more than the whole budget is taken while there is no other. */
  function fits(bytes: number): boolean {
    return heldBytes === 0 || heldBytes + bytes <= limitBytes;
  }

  function admitWaiters(): void {
    for (const waiter of waiters) {
      if (!fits(waiter.bytes)) return;
      waiter.settle(true);
    }
  }

  function open(): BodyRoom {
    let ownBytes = 0;
    let ownWaiter: Waiter | null = null;

    function take(bytes: number): void {
      ownBytes += bytes;
      heldBytes += bytes;
    }

    return {
      tryTake(bytes) {
        const isSmall = ownBytes + bytes <= SMALL_BODY_BYTES;
        if (!isSmall && (waiters.size > 0 || !fits(bytes))) return false;
        take(bytes);
        return true;
      },
      waitFor: (bytes) =>
        new Promise((resolve) => {
          const timer = setTimeout(() => waiter.settle(false), WAIT_MS);
          const waiter: Waiter = {
            bytes,
            settle(hasRoom) {
              clearTimeout(timer);
              waiters.delete(waiter);
              ownWaiter = null;
              if (hasRoom) take(bytes);
              resolve(hasRoom);
            },
          };
          ownWaiter = waiter;
          waiters.add(waiter);
        }),
      release() {
        ownWaiter?.settle(false);
        heldBytes -= ownBytes;
        ownBytes = 0;
        admitWaiters();
      },
    };
  }

  return { limitBytes, heldBytes: () => heldBytes, open };
}
