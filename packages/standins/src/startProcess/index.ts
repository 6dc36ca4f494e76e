import { parseJson } from '@gypsumspring/protocol'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

interface ProcessOptions {
  args?: string[]
  env?: Record<string, string>
  /** Recognizes the ready line among the JSON lines of standard output. Default: `ready` is true. */
  isReady?: (line: Record<string, any>) => boolean
  /** Longest wait for the ready line, in ms. */
  readyTimeoutMs?: number
}

/** Lines of output kept for each process. */
const MAX_LOG_LINES = 10_000

/** Ends the started process when this one dies without running its exit handlers, which closes standard input. */
const EXIT_WITH_PARENT =
  'data:text/javascript,process.stdin.on("end",()=>process.kill(process.pid,"SIGKILL")).resume().unref()'

const running = new Set<ChildProcess>()
process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** A process started for a test. */
export class StartedProcess {
  readonly pid: number
  /** Output lines of both streams in order of arrival, the newest last. */
  readonly log: string[] = []
  /** The ready line. */
  ready: Record<string, any> = {}
  readonly #child: ChildProcess
  readonly #exited: Promise<unknown>

  constructor (child: ChildProcess) {
    this.#child = child
    this.pid = child.pid!
    running.add(child)
    this.#exited = once(child, 'exit').then(() => running.delete(child))
  }

  get exited (): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null
  }

  get exitCode (): number | null {
    return this.#child.exitCode
  }

  /** Keeps one line of output; called by `startProcess`. */
  record (line: string): void {
    this.log.push(line)
    if (this.log.length > MAX_LOG_LINES) this.log.shift()
  }

  /** Stops the process with a signal (default SIGKILL) and waits until it has exited. Harmless when it has already. */
  async kill (signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    if (!this.exited) {
      this.#child.kill(signal)
      // A paused process handles no signal but SIGKILL.
      if (signal !== 'SIGKILL') this.#child.kill('SIGCONT')
    }
    await this.#exited
  }

  /** Resolves when the process has exited. */
  async waitForExit (): Promise<number | null> {
    await this.#exited
    return this.exitCode
  }

  pause (): void {
    this.#child.kill('SIGSTOP')
  }

  resume (): void {
    this.#child.kill('SIGCONT')
  }
}

/**
 * Starts a built program with Node and waits for its ready line. The process is killed at the latest when this one
 * exits or dies.
 *
 * @param program - Path of the built program.
 * @param options - Arguments (none), environment added to this process's (none), ready line (`ready` is true) and time
 * to wait for it in ms (20,000).
 * @returns The running process, with the ready line.
 * @throws Error with the log when the program exits first or the time is over; it is not left running.
 *
 * @example
 * const platform = await startProcess('packages/standins/dist/platform.js', { args: ['--port', '0'] })
 * await platform.kill()
 */
export async function startProcess (program: string, options: ProcessOptions = {}): Promise<StartedProcess> {
  const child = spawn(process.execPath, ['--import', EXIT_WITH_PARENT, program, ...options.args ?? []], {
    stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, ...options.env }
  })
  if (child.pid === undefined) throw new Error(`${program} can't be started`)
  const started = new StartedProcess(child)
  const isReady = options.isReady ?? ((line) => line.ready === true)
  const ready = new Promise<Record<string, any>>((resolve) => {
    createInterface(child.stderr).on('line', (line) => started.record(line))
    createInterface(child.stdout).on('line', (line) => {
      started.record(line)
      const parsed = parseLine(line)
      if (parsed !== undefined && isReady(parsed)) resolve(parsed)
    })
  })
  let timer: ReturnType<typeof setTimeout> | undefined
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), options.readyTimeoutMs ?? 20_000)
  })
  const line = await Promise.race([ready, timeout, started.waitForExit().then(() => undefined)])
  clearTimeout(timer)
  if (line === undefined) {
    const fault = started.exited ? `exited with ${started.exitCode}` : 'printed no ready line'
    await started.kill()
    throw new Error(`${program} ${fault}:\n${started.log.slice(-20).join('\n')}`)
  }
  started.ready = line
  return started
}

function parseLine (line: string): Record<string, any> | undefined {
  const value = parseJson(line)
  return typeof value === 'object' && value !== null ? value as Record<string, any> : undefined
}
