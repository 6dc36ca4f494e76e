import { cac } from 'cac'

interface Flag {
  name: string
  description: string
  default: string | number
}

interface Program {
  name: string
  flags: Flag[]
  /** Starts the servers. `addresses` are added to the ready line. */
  start (flags: Record<string, any>): Promise<{ addresses: Record<string, unknown>, close: () => Promise<void> }>
}

/**
 * Runs a stand-in as a command-line program: parses its flags, starts it, prints the ready line (JSON,
 * `{ ready: true, program, pid, ...addresses }`) and stops on SIGTERM or SIGINT.
 *
 * @param program - Name, flags and start function.
 */
export function runProgram (program: Program): void {
  const parser = cac(program.name)
  parser.option('--port <port>', 'port of the API; 0 picks a free one', { default: 0 })
  for (const flag of program.flags) {
    parser.option(`--${flag.name} <value>`, flag.description, { default: flag.default })
  }
  parser.help()
  const { options } = parser.parse()
  if (options.help === true) return
  run(program, options).catch((error: Error) => {
    process.stderr.write(`${program.name}: ${error.message}\n`)
    process.exit(1)
  })
}

async function run (program: Program, options: Record<string, any>): Promise<void> {
  const { addresses, close } = await program.start(options)
  const stop = () => { close().then(() => process.exit(0), () => process.exit(1)) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  process.stdout.write(`${JSON.stringify({ ready: true, program: program.name, pid: process.pid, ...addresses })}\n`)
}
