/** Rate of arrivals as an exponentially decayed sum. */

/** Time constant: arrivals of the last second dominate the rate. */
const TIME_CONSTANT_MS = 1_000;

export interface ArrivalRate {
  add(cost: number): void;
  perSecond(): number;
}

/** Creates the rate of a class in which nothing has arrived. */
export function createArrivalRate(): ArrivalRate {
  let rate = 0;
  let updatedAt = performance.now();

  function decay(): number {
    const now = performance.now();
    rate *= Math.exp((updatedAt - now) / TIME_CONSTANT_MS);
    updatedAt = now;
    return rate;
  }

  return {
    add(cost) {
      rate = decay() + (cost * 1_000) / TIME_CONSTANT_MS;
    },
    perSecond: decay,
  };
}
