interface Event {
  at: number
  order: number
  run: (now: number) => void
}

/** Runs events in time order, those of one time in the order in which they were added. */
export class EventQueue {
  readonly #heap: Event[] = []
  #order = 0
  now = 0

  add (at: number, run: (now: number) => void): void {
    const event = { at: Math.max(at, this.now), order: this.#order++, run }
    const heap = this.#heap
    let index = heap.length
    heap.push(event)
    for (let parent = (index - 1) >> 1; index > 0 && before(event, heap[parent] as Event); parent = (index - 1) >> 1) {
      heap[index] = heap[parent] as Event
      index = parent
    }
    heap[index] = event
  }

  runUntil (end: number): void {
    for (let event = this.#heap[0]; event !== undefined && event.at <= end; event = this.#heap[0]) {
      this.#removeFirst()
      this.now = event.at
      event.run(event.at)
    }
    this.now = end
  }

  #removeFirst (): void {
    const heap = this.#heap
    const last = heap.pop() as Event
    if (heap.length === 0) return
    let index = 0
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && before(heap[child + 1] as Event, heap[child] as Event)) child++
      if (!before(heap[child] as Event, last)) break
      heap[index] = heap[child] as Event
      index = child
    }
    heap[index] = last
  }
}

function before (a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
