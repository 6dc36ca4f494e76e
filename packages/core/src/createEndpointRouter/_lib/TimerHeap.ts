export interface Timer {
  /** When the timer is due, in ms. */
  at: number
  kind: 'deadline' | 'hedge'
  request: string
}

/** Binary heap of timers by due time. Timers are never cancelled: the caller ignores those of ended requests. */
export class TimerHeap {
  readonly #heap: Timer[] = []

  push (due: Timer): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(due)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if ((heap[parent] as Timer).at <= due.at) break
      heap[index] = heap[parent] as Timer
      index = parent
    }
    heap[index] = due
  }

  peek (): Timer | undefined {
    return this.#heap[0]
  }

  pop (): Timer | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && (heap[child + 1] as Timer).at < (heap[child] as Timer).at) child++
      if ((heap[child] as Timer).at >= last.at) break
      heap[index] = heap[child] as Timer
      index = child
    }
    heap[index] = last
    return first
  }
}
