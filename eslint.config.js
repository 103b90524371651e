import js from '@eslint/js';
import { defineConfig } from 'eslint/config';
import ts from 'typescript-eslint';

export default defineConfig(
  { ignores: ['**/target/**', 'node_modules/**', 'journal/**'] },
  js.configs.recommended,
  ts.configs.strictTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['eslint.config.js'] },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      eqeqeq: 'error',
      'max-lines': ['error', 500],
      'max-lines-per-function': ['error', 80],
      complexity: ['error', 20],
    },
  },
  {
    files: ['src/**', 'packages/*/src/**'],
    rules: { complexity: ['error', 16] },
  },
  {
    files: ['test/**', 'packages/*/test/**'],
    rules: {
      // A value that is missing fails the test where it is used.
      '@typescript-eslint/no-non-null-assertion': 'off',
      // What callbacks change meanwhile, and picks from lists that may be empty, are not seen by the analysis.
      '@typescript-eslint/no-unnecessary-condition': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: 'test', package: 'node:test' }] },
      ],
    },
  },
);
