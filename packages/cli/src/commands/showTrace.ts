import { readFile } from 'node:fs/promises'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { traceJob } from '../traceJob/index.ts'

/** Tells the story of a job from log files; `-` reads standard input. */
export async function showTrace (job: string, files: readonly string[]): Promise<CommandResult> {
  try {
    const texts = await Promise.all(files.map((file) => readFile(file === '-' ? '/dev/stdin' : file, 'utf8')))
    const story = traceJob(job, texts.flatMap((text) => text.split('\n')))
    return story.length > 0
      ? { code: exitCodes.ok, output: story }
      : { code: exitCodes.notFound, output: [], errors: [`${job}: no log line names it`] }
  } catch (error) {
    return { code: exitCodes.usage, output: [], errors: [(error as Error).message] }
  }
}
