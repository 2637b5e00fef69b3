export interface Deferred<Value> {
  readonly promise: Promise<Value>;
  resolve(value: Value): void;
}

/** Creates a promise that is resolved from outside; the first value counts. */
export function createDeferred<Value>(): Deferred<Value> {
  let resolve: (value: Value) => void = () => {};
  const promise = new Promise<Value>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
}
