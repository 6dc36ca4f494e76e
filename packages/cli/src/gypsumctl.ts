#!/usr/bin/env node
/** The operators' command line. */
import { Manifest } from '@gypsumspring/protocol'
import { cac } from 'cac'
import type { Either } from 'purify-ts/Either'
import { applyManifest, waitUntilInForce } from './commands/applyManifest.ts'
import { readManifestFile } from './commands/readManifestFile.ts'
import { showDiff } from './commands/showDiff.ts'
import { showStatus } from './commands/showStatus.ts'
import { showTrace } from './commands/showTrace.ts'
import { OperatorClient, type Refusal } from './operatorClient/index.ts'
import { exitCodes, finish, type CommandResult } from './output/index.ts'

interface Options {
  server?: string
  waitMs?: number
  expect?: number
  scope?: string
  undo?: boolean
  json?: boolean
  tasks?: boolean
  watch?: boolean
}

/** Longest wait until a change is in force everywhere, in ms, unless `--wait-ms` says otherwise. */
const DEFAULT_WAIT_MS = 9000

/** Time between two refreshes of `status --watch`, in ms. */
const WATCH_MS = 1000

const cli = cac('gypsumctl')
cli.option('--server <url>', 'operators\' address of any entry (GYPSUMCTL_SERVER; default http://127.0.0.1:7100)')

cli.command('apply <file>', 'apply a manifest and wait until it is in force; - reads standard input')
  .option('--expect <version>', 'version of the scope that the change is based on (default: the current one)')
  .option('--wait-ms <ms>', `longest wait until it is in force everywhere (default ${DEFAULT_WAIT_MS})`)
  .action(async (file: string, options: Options) => finish(await applyManifest(connect(options), file, options)))

cli.command('check <file>', 'check a manifest without applying it')
  .action(async (file: string) => finish((await readManifestFile(file)).caseOf<CommandResult>({
    Left: (refusal) => refusal,
    Right: ({ manifest }) => ({ code: exitCodes.ok, output: [`${manifest.scope}: valid`] })
  })))

cli.command('diff <file>', 'show what applying a manifest would change')
  .action(async (file: string, options: Options) => finish(await showDiff(connect(options), file)))

cli.command('schema', 'print the JSON Schema of the manifest')
  .action(() => finish({ code: exitCodes.ok, output: [JSON.stringify(Manifest, null, 2)] }))

cli.command('status', 'show processes, shards and workloads')
  .option('--json', 'print the whole status as JSON')
  .option('--tasks', 'list every task')
  .option('--watch', 'refresh every second')
  .action(async (options: Options) => {
    do {
      const result = await showStatus(connect(options), options)
      if (options.watch === true) process.stdout.write('\x1b[2J\x1b[H')
      finish(result)
      if (options.watch === true) await new Promise((resolve) => setTimeout(resolve, WATCH_MS))
    } while (options.watch === true)
  })

cli.command('explain <task>', 'tell why a task is where it is, or why it waits')
  .action(async (task: string, options: Options) =>
    print(await connect(options).explain(task), ({ lines }) => lines))

cli.command('trace <job> <...logs>', 'tell the story of a job from the log files of all processes; - reads standard input')
  .action(async (job: string, logs: string[]) => finish(await showTrace(job, logs)))

cli.command('cancel <workload>', 'cancel a workload; its tasks are stopped')
  .option('--scope <scope>', 'scope of the workload, when several declare its name')
  .option('--wait-ms <ms>', `longest wait until it is in force everywhere (default ${DEFAULT_WAIT_MS})`)
  .action(async (workload: string, options: Options) => {
    const client = connect(options)
    await printInForce(client, await client.cancel(workload, options.scope), options)
  })

cli.command('drain <endpoint> <runner>', 'send no new requests to a runner; those in flight finish')
  .option('--undo', 'end the drain')
  .option('--wait-ms <ms>', `longest wait until it is in force everywhere (default ${DEFAULT_WAIT_MS})`)
  .action(async (endpoint: string, runner: string, options: Options) => {
    const client = connect(options)
    const operation = options.undo === true ? 'undrain' : 'drain'
    await printInForce(client, await client.drain(endpoint, runner, operation), options)
  })

cli.command('stats', 'print the counters and histograms of the entry')
  .action(async (options: Options) => print(await connect(options).readMetrics(), (text) => [text.trimEnd()]))

cli.command('log-level <level>', 'change the log level of the entry at run time: debug, info, warn or error')
  .action(async (level: string, options: Options) =>
    print(await connect(options).setLogLevel(level), (answer) => [`log level ${answer.level}`]))

cli.command('', 'list the commands').action(() => {
  cli.outputHelp()
  process.exitCode = exitCodes.usage
})
cli.help()

function connect (options: Options): OperatorClient {
  return new OperatorClient(options.server ?? process.env['GYPSUMCTL_SERVER'] ?? 'http://127.0.0.1:7100')
}

function print<Value> (answer: Either<Refusal, Value>, describe: (value: Value) => string[]): void {
  finish(answer.caseOf<CommandResult>({
    Left: (refusal) => refusal,
    Right: (value) => ({ code: exitCodes.ok, output: describe(value) })
  }))
}

async function printInForce (
  client: OperatorClient, answer: Either<Refusal, { version: number }>, options: Options
): Promise<void> {
  finish(await answer.caseOf<Promise<CommandResult>>({
    Left: async (refusal) => refusal,
    Right: async ({ version }) => await waitUntilInForce(client, version, options.waitMs ?? DEFAULT_WAIT_MS)
  }))
}

try {
  cli.parse(process.argv, { run: false })
  await cli.runMatchedCommand()
} catch (error) {
  finish({ code: exitCodes.usage, output: [], errors: [(error as Error).message] })
}
