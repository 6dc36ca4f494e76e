/** Writes what was sent, answered and run to a file, one line each with the time since the start in seconds. */
import { closeSync, openSync, writeSync } from 'node:fs'

export class Record {
  #file
  #startedAt = performance.now()

  constructor (path) {
    this.#file = openSync(path, 'w')
  }

  get seconds () {
    return (performance.now() - this.#startedAt) / 1_000
  }

  write (what, fields = {}) {
    const details = Object.entries(fields).map(([name, value]) =>
      `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`)
    writeSync(this.#file, `${this.seconds.toFixed(3).padStart(8)} ${[what, ...details].join(' ')}\n`)
  }

  /** Writes a line to the file and to standard output. */
  say (text) {
    this.write(text)
    process.stdout.write(`${text}\n`)
  }

  close () {
    closeSync(this.#file)
  }
}
