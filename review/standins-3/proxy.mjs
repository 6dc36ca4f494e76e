/** A TCP proxy on loopback whose connections can go silent, be delayed, or be reset. */
import { connect, createServer } from 'node:net'

export class Proxy {
  #server = createServer((socket) => this.#accept(socket))
  #pairs = new Set()
  #target
  /** Neither passes bytes on nor opens connections: what is sent meanwhile is held back. */
  isCut = false

  constructor (target) {
    this.#target = target
  }

  async listen (host, port = 0) {
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
    return this.address
  }

  get connections () {
    return [...this.#pairs].filter(({ isSilent }) => !isSilent).length
  }

  /** Lets all open connections go silent for good, without a reset; new ones work. */
  silence () {
    for (const pair of this.#pairs) pair.isSilent = true
  }

  cut () {
    this.isCut = true
  }

  heal () {
    this.isCut = false
    for (const pair of this.#pairs) pair.flush()
  }

  reset () {
    for (const pair of [...this.#pairs]) pair.end()
  }

  close () {
    this.reset()
    this.#server.close()
  }

  #accept (near) {
    const separator = this.#target.lastIndexOf(':')
    const far = connect({ host: this.#target.slice(0, separator), port: Number(this.#target.slice(separator + 1)) })
    near.setNoDelay(true)
    far.setNoDelay(true)
    const held = []
    const pair = {
      isSilent: false,
      flush: () => {
        if (this.isCut || pair.isSilent) return
        for (const pass of held.splice(0)) pass()
      },
      end: () => {
        this.#pairs.delete(pair)
        near.destroy()
        far.destroy()
      }
    }
    this.#pairs.add(pair)
    const forward = (from, to) => {
      const pass = (action) => {
        if (pair.isSilent) return
        if (this.isCut || held.length > 0) held.push(action)
        else action()
      }
      from.on('data', (data) => pass(() => { if (!to.destroyed) to.write(data) }))
      from.on('end', () => pass(() => to.end()))
      from.on('error', () => pass(() => pair.end()))
      from.on('close', () => pass(() => pair.end()))
    }
    forward(near, far)
    forward(far, near)
  }
}
