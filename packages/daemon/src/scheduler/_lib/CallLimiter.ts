import fastq, { type queueAsPromised } from 'fastq'

/** Runs calls with limited concurrency; further calls wait in a queue. */
export class CallLimiter {
  readonly #queue: queueAsPromised<() => Promise<unknown>, unknown>

  constructor (maxConcurrentCalls: number) {
    this.#queue = fastq.promise(async (call: () => Promise<unknown>) => await call(), maxConcurrentCalls)
  }

  run<Value> (call: () => Promise<Value>): Promise<Value> {
    return this.#queue.push(call) as Promise<Value>
  }
}
