import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, env: ['mocha'], ignores: resolveIgnoresFromGitignore() }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }],
      // A schema and the type inferred from it share one name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off'
    }
  },
  {
    // chai property assertions are expressions
    files: ['**/test.ts', '**/*.test.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
