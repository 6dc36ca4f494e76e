import fastq, { type queueAsPromised } from 'fastq'

/** Runs calls with a bound on how many are open at once. */
export class CallLimiter {
  readonly #queue: queueAsPromised<() => Promise<unknown>, unknown>

  constructor (callsAtOnce: number) {
    this.#queue = fastq.promise(async (call: () => Promise<unknown>) => await call(), callsAtOnce)
  }

  run<Value> (call: () => Promise<Value>): Promise<Value> {
    return this.#queue.push(call) as Promise<Value>
  }
}
