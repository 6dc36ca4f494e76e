import { diffManifests } from '../diffManifests/index.ts'
import type { CommandFailure, OperatorClient } from '../operatorClient/index.ts'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { readManifestFile } from './readManifestFile.ts'

/** Shows the differences between the current manifest of a scope and a manifest file. */
export async function showDiff (client: OperatorClient, file: string): Promise<CommandResult> {
  const manifestFile = await readManifestFile(file)
  if (manifestFile.isLeft()) return manifestFile.extract() as CommandFailure
  const { manifest } = manifestFile.unsafeCoerce()
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
