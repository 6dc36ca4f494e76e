interface ScheduledEvent {
  /** Simulated time in ms. */
  at: number
  /** Insertion number, which orders events of the same time. */
  sequence: number
  run: (now: number) => void
}

/** Event queue of a discrete-event simulation. Events of the same time run in insertion order. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = []
  #nextSequence = 0
  /** Current simulated time in ms. */
  now = 0

  /** Adds an event; one whose time has passed runs at the current time. */
  add (at: number, run: (now: number) => void): void {
    const event = { at: Math.max(at, this.now), sequence: this.#nextSequence++, run }
    const heap = this.#heap
    let index = heap.length
    heap.push(event)
    let parent = (index - 1) >> 1
    while (index > 0 && isBefore(event, heap[parent] as ScheduledEvent)) {
      heap[index] = heap[parent] as ScheduledEvent
      index = parent
      parent = (index - 1) >> 1
    }
    heap[index] = event
  }

  /** Runs all events up to `end`, including those that they add, and advances the clock to `end`. */
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
    const last = heap.pop() as ScheduledEvent
    if (heap.length === 0) return
    let index = 0
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && isBefore(heap[child + 1] as ScheduledEvent, heap[child] as ScheduledEvent)) child++
      if (!isBefore(heap[child] as ScheduledEvent, last)) break
      heap[index] = heap[child] as ScheduledEvent
      index = child
    }
    heap[index] = last
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence)
}
