/** Reports the turns of this process's event loop, without causing any. */

/**
 * Calls the listener once in each turn, after the loop has read its sockets and
 * handled signals. Returns a function that ends this.
 */
export function watchLoopTurns(listener: () => void): () => void {
  let isStopped = false;
  const plan = () => {
    // An immediate without a reference doesn't keep the loop from waiting.
    setImmediate(() => {
      if (isStopped) return;
      listener();
      plan();
    }).unref();
  };
  plan();
  return () => {
    isStopped = true;
  };
}
