/**
 * Aborts at a time of the monotonic clock, in milliseconds, and not before: a
 * timer counts from the beginning of its turn of the event loop, so it may fire
 * early by as much as that turn had lasted. Returns a function that stops it.
 */
export function abortAt(controller: AbortController, at: number): () => void {
  let timer = setTimeout(check, at - performance.now());

  function check(): void {
    const leftMs = at - performance.now();
    if (leftMs > 0) timer = setTimeout(check, Math.ceil(leftMs));
    else controller.abort();
  }

  return () => clearTimeout(timer);
}
