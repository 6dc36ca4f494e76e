export interface Due {
  at: number
  kind: 'deadline' | 'hedge'
  request: string
}

/** Due times in order: a binary heap. Entries that no longer apply are skipped by the reader. */
export class DueTimes {
  readonly #heap: Due[] = []

  push (due: Due): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(due)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if ((heap[parent] as Due).at <= due.at) break
      heap[index] = heap[parent] as Due
      index = parent
    }
    heap[index] = due
  }

  peek (): Due | undefined {
    return this.#heap[0]
  }

  pop (): Due | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && (heap[child + 1] as Due).at < (heap[child] as Due).at) child++
      if ((heap[child] as Due).at >= last.at) break
      heap[index] = heap[child] as Due
      index = child
    }
    heap[index] = last
    return first
  }
}
