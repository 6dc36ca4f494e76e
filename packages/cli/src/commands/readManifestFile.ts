import { readFile } from 'node:fs/promises'
import { parseManifest, type Manifest } from '@gypsumspring/protocol'
import { Left, Right, type Either } from 'purify-ts/Either'
import { formatViolation, type CommandFailure } from '../operatorClient/index.ts'
import { exitCodes } from '../output/index.ts'

/** Reads and validates a manifest file, or standard input if the file is `-`. */
export async function readManifestFile (
  file: string
): Promise<Either<CommandFailure, { text: string, manifest: Manifest }>> {
  let text: string
  try {
    text = await readFile(file === '-' ? '/dev/stdin' : file, 'utf8')
  } catch (error) {
    return Left({ code: exitCodes.usage, output: [], errors: [(error as Error).message] })
  }
  return parseManifest(text).caseOf({
    Left: (violations) =>
      Left({ code: exitCodes.invalidManifest, output: [], errors: violations.map(formatViolation) }),
    Right: (manifest) => Right({ text, manifest })
  })
}
