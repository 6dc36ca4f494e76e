import { diffManifests } from '../diffManifests/index.ts'
import type { OperatorClient, Refusal } from '../operatorClient/index.ts'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { readManifestFile } from './readManifestFile.ts'

/** Shows what applying a manifest would change. */
export async function showDiff (client: OperatorClient, file: string): Promise<CommandResult> {
  const read = await readManifestFile(file)
  if (read.isLeft()) return read.extract() as Refusal
  const { manifest } = read.unsafeCoerce()
  const configuration = await client.readConfiguration()
  return configuration.caseOf<CommandResult>({
    Left: (refusal) => refusal,
    Right: ({ index, manifests }) => {
      const changes = diffManifests(manifests[manifest.scope], manifest)
      const version = index?.scopes[manifest.scope]?.version ?? 0
      return {
        code: exitCodes.ok,
        output: [`scope ${manifest.scope}, version ${version}`, ...changes.length > 0 ? changes : ['no change']]
      }
    }
  })
}
