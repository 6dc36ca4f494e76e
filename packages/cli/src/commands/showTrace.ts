import { readFile } from 'node:fs/promises'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { traceJob } from '../traceJob/index.ts'

/** Shows the timeline of a job from log files; the file `-` stands for standard input. */
export async function showTrace (job: string, files: readonly string[]): Promise<CommandResult> {
  try {
    const texts = await Promise.all(files.map((file) => readFile(file === '-' ? '/dev/stdin' : file, 'utf8')))
    const traceLines = traceJob(job, texts.flatMap((text) => text.split('\n')))
    return traceLines.length > 0
      ? { code: exitCodes.ok, output: traceLines }
      : { code: exitCodes.notFound, output: [], errors: [`no log line mentions job ${job}`] }
  } catch (error) {
    return { code: exitCodes.usage, output: [], errors: [(error as Error).message] }
  }
}
