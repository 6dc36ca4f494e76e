import { parseJson } from '@gypsumspring/protocol'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

interface ProcessOptions {
  args?: string[]
  env?: Record<string, string>
  /** Whether a JSON line of standard output is the ready line. Default: `ready` is true. */
  isReady?: (line: Record<string, any>) => boolean
  /** Time limit for the ready line, in ms. Default: 20,000. */
  readyTimeoutMs?: number
}

/** Output lines kept per process. */
const MAX_LOG_LINES = 10_000

/**
 * Module preloaded into the started process. It kills the process when its standard input closes, which happens when
 * this process dies without running its exit handlers.
 */
const EXIT_WITH_PARENT =
  'data:text/javascript,process.stdin.on("end",()=>process.kill(process.pid,"SIGKILL")).resume().unref()'

const running = new Set<ChildProcess>()
process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** A running program, as returned by `startProcess`. */
export class StartedProcess {
  readonly pid: number
  /** The last lines of standard output and standard error, in order of arrival. */
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

  /** Adds a line of output; called by `startProcess`. */
  appendLogLine (line: string): void {
    this.log.push(line)
    if (this.log.length > MAX_LOG_LINES) this.log.shift()
  }

  /** Sends a signal (default SIGKILL) and waits for the process to exit. Has no effect if it has exited already. */
  async kill (signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    if (!this.exited) {
      this.#child.kill(signal)
      // A paused process handles signals other than SIGKILL only after it is resumed.
      if (signal !== 'SIGKILL') this.#child.kill('SIGCONT')
    }
    await this.#exited
  }

  /** Resolves with the exit code when the process has exited. */
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
 * Starts a built program with Node and waits for its ready line. The process is killed when this process exits or dies,
 * if not before.
 *
 * @param program - Path of the built program.
 * @param options - Arguments (none), variables added to the environment of this process (none), test for the ready line
 * (`ready` is true) and time limit for it in ms (20,000).
 * @returns The running process, with its ready line.
 * @throws Error with the last lines of output when the program exits before it is ready, or does not become ready in
 * time and is killed.
 *
 * @example
 * const platform = await startProcess('packages/standins/dist/platform.js', { args: ['--port', '0'] })
 * await platform.kill()
 */
export async function startProcess (program: string, options: ProcessOptions = {}): Promise<StartedProcess> {
  const child = spawn(process.execPath, ['--import', EXIT_WITH_PARENT, program, ...options.args ?? []], {
    stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, ...options.env }
  })
  if (child.pid === undefined) throw new Error(`can't start ${program}`)
  const started = new StartedProcess(child)
  const isReady = options.isReady ?? ((line) => line.ready === true)
  const ready = new Promise<Record<string, any>>((resolve) => {
    createInterface(child.stderr).on('line', (line) => started.appendLogLine(line))
    createInterface(child.stdout).on('line', (line) => {
      started.appendLogLine(line)
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
    const problem = started.exited ? `exited with ${started.exitCode}` : 'printed no ready line'
    await started.kill()
    throw new Error(`${program} ${problem}:\n${started.log.slice(-20).join('\n')}`)
  }
  started.ready = line
  return started
}

function parseLine (line: string): Record<string, any> | undefined {
  const value = parseJson(line)
  return typeof value === 'object' && value !== null ? value as Record<string, any> : undefined
}
